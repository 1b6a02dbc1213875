package org.yuccajunction.configuration

import org.yuccajunction.document.SectionName
import org.yuccajunction.model.Revision

/** Keys of this system's objects in the platform's object API. */
public object ObjectKeys {
    /** Prefix of every key of the configuration. */
    public const val DEPLOYMENT_PREFIX: String = "deployment/"

    /** Key of the [DeploymentHead]. */
    public const val DEPLOYMENT_HEAD: String = "deployment/head"

    /** Prefix of the keys of status objects, which operators read. */
    public const val STATUS_PREFIX: String = "status/"

    /** Prefix of the keys of leases. */
    public const val LEASE_PREFIX: String = "leases/"

    /** Prefix of the keys of claims of callers' idempotency keys. */
    public const val CLAIM_PREFIX: String = "claims/"

    /** Returns the key of an immutable section text; [id] is unique among the texts of the section. */
    public fun section(name: SectionName, id: String): String = "deployment/sections/${name.key}/$id"

    /** Returns the key of the replaced [DeploymentHead] of [revision]. */
    public fun history(revision: Revision): String = "deployment/history/$revision"

    /** Returns the key of the status of the version move named [move]. */
    public fun moveStatus(move: String): String = "status/moves/$move"

    /** Returns the key of the lease named [name]. */
    public fun lease(name: String): String = "leases/$name"
}
