package org.yuccajunction.membership

import org.yuccajunction.model.FencingNumber
import org.yuccajunction.model.Revision
import org.yuccajunction.rollout.VersionVeto

/**
 * The parts of a heartbeat that don't concern membership.
 *
 * @property revision the newest configuration that this entry has
 * @property vetoes all vetoes that this entry has
 * @property highestFencingNumber the highest fencing number of any lease that this entry knows
 */
public class HeartbeatContent(
    public val revision: Revision,
    public val vetoes: Collection<VersionVeto> = emptyList(),
    public val highestFencingNumber: FencingNumber = FencingNumber(0),
) {
    /** Hash of [vetoes] that does not depend on their order; 0 without vetoes. */
    internal val vetoDigest: Int = vetoes.fold(0) { hash, veto -> hash xor hash(veto) }

    private fun hash(veto: VersionVeto): Int =
        listOf(veto.move, veto.service.value, veto.version.value, veto.route.orEmpty()).hashCode()
}
