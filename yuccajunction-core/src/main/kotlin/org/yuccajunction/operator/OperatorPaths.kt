package org.yuccajunction.operator

/** Paths of the operator port, shared by the entry and the command line. */
public object OperatorPaths {
    /** `GET`: the sections in force, or with the parameter `revision` those of an earlier revision. */
    public const val DEPLOYMENT: String = "/v1/deployment"

    /** `POST` of a [SectionTexts]: the findings of the configuration that would result. */
    public const val VALIDATION: String = "/v1/deployment/validation"

    /** `POST` of a [ChangeMessage]: changes sections. */
    public const val CHANGES: String = "/v1/deployment/changes"

    /** `GET`: the newest accepted changes. */
    public const val HISTORY: String = "/v1/deployment/history"

    /** `GET`: revision and state of every entry, and the moves. */
    public const val STATUS: String = "/v1/status"

    /** `GET`: the instances as the asked entry believes them to be. */
    public const val INSTANCES: String = "/v1/instances"

    /** `POST` of a [SwitchMessage]: takes out or returns an availability zone, drains an instance or ends a drain. */
    public const val SWITCHES: String = "/v1/switches"

    /** `POST` of an [ExplainMessage]: why a request would go where it goes. */
    public const val EXPLANATIONS: String = "/v1/explanations"
}
