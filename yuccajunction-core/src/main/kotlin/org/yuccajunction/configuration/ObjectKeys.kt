package org.yuccajunction.configuration

import org.yuccajunction.document.SectionName
import org.yuccajunction.model.Revision

/** Names of the system's own objects in the platform's object API. */
public object ObjectKeys {
    /** Start of every key that belongs to the configuration. */
    public const val DEPLOYMENT_PREFIX: String = "deployment/"

    /** The [DeploymentHead]. */
    public const val DEPLOYMENT_HEAD: String = "deployment/head"

    /** Start of the keys of every status that operators read back. */
    public const val STATUS_PREFIX: String = "status/"

    /** Start of the keys of leases. */
    public const val LEASE_PREFIX: String = "leases/"

    /** Start of the keys that claim callers' idempotency keys. */
    public const val CLAIM_PREFIX: String = "claims/"

    /** Key of the text of one section, which never changes; [id] is unique among the texts of the section. */
    public fun section(name: SectionName, id: String): String = "deployment/sections/${name.key}/$id"

    /** Key of a [DeploymentHead] that was replaced. */
    public fun history(revision: Revision): String = "deployment/history/$revision"

    /** Key of the status of one move of a version. */
    public fun moveStatus(move: String): String = "status/moves/$move"

    /** Key of one lease. */
    public fun lease(name: String): String = "leases/$name"
}
