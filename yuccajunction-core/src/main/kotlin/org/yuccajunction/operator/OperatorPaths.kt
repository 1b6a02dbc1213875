package org.yuccajunction.operator

/** Paths of the operator interface, shared by the entry and the command line tool. */
public object OperatorPaths {
    /** `GET`: the sections in force, or with the parameter `revision` those of an earlier revision. */
    public const val DEPLOYMENT: String = "/v1/deployment"

    /** `POST` of a [SectionTexts]: the findings of the resulting configuration. */
    public const val VALIDATION: String = "/v1/deployment/validation"

    /** `POST` of a [ChangeMessage]: changes sections. */
    public const val CHANGES: String = "/v1/deployment/changes"

    /** `GET`: the newest accepted changes. */
    public const val HISTORY: String = "/v1/deployment/history"

    /** `GET`: the revision and state of every entry, and the version moves. */
    public const val STATUS: String = "/v1/status"

    /** `GET`: the instances as known to the entry that answers. */
    public const val INSTANCES: String = "/v1/instances"

    /** `POST` of a [SwitchMessage]: takes a zone out of service or returns it, drains an instance or ends a drain. */
    public const val SWITCHES: String = "/v1/switches"

    /** `POST` of an [ExplainMessage]: the routing decision for a request and the reasons. */
    public const val EXPLANATIONS: String = "/v1/explanations"
}
