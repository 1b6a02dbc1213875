package org.yuccajunction.membership

import org.yuccajunction.model.FencingNumber
import org.yuccajunction.model.Revision
import org.yuccajunction.rollout.VersionVeto

/**
 * What a heartbeat carries besides membership.
 *
 * @property revision the newest configuration that this entry has
 * @property vetoes every veto that this entry holds
 * @property highestFencingNumber the highest fencing number of any lease that this entry has heard of
 */
public class HeartbeatContent(
    public val revision: Revision,
    public val vetoes: Collection<VersionVeto> = emptyList(),
    public val highestFencingNumber: FencingNumber = FencingNumber(0),
) {
    /** Hash of [vetoes] that does not depend on their order; 0 for none. */
    internal val vetoDigest: Int = vetoes.fold(0) { hash, veto -> hash xor hash(veto) }

    private fun hash(veto: VersionVeto): Int =
        listOf(veto.move, veto.service.value, veto.version.value, veto.route.orEmpty()).hashCode()
}
