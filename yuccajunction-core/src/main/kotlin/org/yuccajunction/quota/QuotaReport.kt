package org.yuccajunction.quota

/**
 * What an entry reports of the quotas to its peers.
 *
 * @property isUsingPart whether the entry uses a part of every quota
 * @property countedNewMembers hashes of the members that the entry counts and that may still wait to be counted
 * @property spare what the entry can spare of its parts of the quotas that it has used, by workspace
 */
public data class QuotaReport(
    public val isUsingPart: Boolean,
    public val countedNewMembers: List<Long>,
    public val spare: Map<String, Double>,
)
