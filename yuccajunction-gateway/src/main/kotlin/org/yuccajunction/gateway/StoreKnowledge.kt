package org.yuccajunction.gateway

import org.yuccajunction.entries.ConfirmationAnswer
import org.yuccajunction.entries.ConfirmationQuestion
import org.yuccajunction.entries.RelayedChanges
import org.yuccajunction.port.ObjectVersion
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * What this entry knows of the objects in the store, in comparison with its peers.
 *
 * Versions of different eras of the store can't be compared. Confined to the control thread.
 *
 * @property followers follower of each kind of object; the first one follows the configuration
 * @property relayed follower of the kind whose changes entries relay to each other
 */
internal class StoreKnowledge(
    private val followers: List<StoreFollower>,
    private val relayed: StoreFollower,
    private val era: StoreEra,
) {
    /** Returns the store version of the last change that this entry received, by kind of object. */
    fun newestChanges(): Map<String, Long> = followers.associate { it.kind to it.newestChange.value }

    /** Returns a question sent at [sentAtNanos], which asks for changes where this entry waits for them. */
    fun question(sentAtNanos: Long): ConfirmationQuestion {
        val known = relayed.version?.takeIf { relayed.isWaitingForPeers }
        val versions = if (known == null) emptyMap() else mapOf(relayed.kind to known.value)
        return ConfirmationQuestion(sentAtNanos, versions, era.current.value)
    }

    /** Returns the changes for which [question] asks and which this entry knows. */
    fun changesFor(question: ConfirmationQuestion): List<RelayedChanges> {
        val known = question.knownVersions[relayed.kind] ?: return emptyList()
        if (question.storeEra != era.current.value) return emptyList()
        return listOfNotNull(relayed.changesAfter(ObjectVersion(known)))
    }

    /** Accepts the changes that [answer] holds; returns whether its versions are of the present era. */
    fun accept(answer: ConfirmationAnswer): Boolean {
        era.observe(answer.storeEra)
        if (answer.storeEra != StoreEra.UNKNOWN && answer.storeEra < era.current.value) return false
        answer.relayedChanges.filter { it.kind == relayed.kind }.forEach(relayed::acceptFromPeer)
        return true
    }

    /**
     * Returns the kinds of object of which a peer knows changes that this entry does not know.
     *
     * [knownElsewhere] holds the versions of the newest changes that the peer knows, by kind. They are compared with
     * the store version up to which this entry knows all changes. Each returned kind is mapped to the time in which
     * this entry's own watch must deliver the change: none where it doesn't watch.
     */
    fun kindsBehind(knownElsewhere: Map<String, Long>): Map<String, Duration> =
        followers
            .filter { (knownElsewhere[it.kind] ?: 0) > (it.version?.value ?: 0) }
            .associate { it.kind to if (it.isWaitingForPeers) Duration.ZERO else it.gatheringTime + MAX_WATCH_LAG }

    /** Returns whether this entry knows the configuration that a peer knows, by the versions in [knownElsewhere]. */
    fun isConfigurationKnown(knownElsewhere: Map<String, Long>): Boolean {
        val configuration = followers.first()
        val known = configuration.version ?: return false
        val newest = knownElsewhere[configuration.kind] ?: return false
        return newest <= known.value
    }

    private companion object {
        /** Time in which a watch must deliver a change that a peer already knows, beside the gathering time. */
        val MAX_WATCH_LAG = 500.milliseconds
    }
}
