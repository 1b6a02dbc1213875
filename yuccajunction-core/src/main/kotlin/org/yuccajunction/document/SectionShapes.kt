package org.yuccajunction.document

import org.yuccajunction.model.RequestClass

/** Defines the shape of every section of the deployment document. */
internal object SectionShapes {
    private const val MILLISECONDS = "milliseconds"
    private const val SECONDS = "seconds"
    private const val REQUESTS = "requests"
    private const val SHARE = "share from 0 to 1"
    private const val PRICE = "price for an hour"
    private const val MAXIMUM_PRICE = 1_000_000.0
    private const val MAXIMUM_WEIGHT = 1_000.0
    private const val SMALLEST_WEIGHT = 0.001
    private const val PATH = "/[\\x21-\\x7E]*"
    private val targetMillis = 1L..600_000L
    private val replicas = 0L..100_000L
    private val requests = 1L..100_000L
    private val moveSeconds = 1L..604_800L
    private val answerSeconds = 1L..60L
    private val classes = RequestClass.entries.map { it.name }

    private val model = mapping {
        name("name")
        name("version")
        wholeNumber("replicas", replicas, "replicas", required = true)
        wholeNumber("requestLimit", requests, REQUESTS, required = true)
        wholeNumber("coldRequestLimit", requests, REQUESTS)
        wholeNumber("firstTokenTargetMillis", targetMillis, MILLISECONDS)
        wholeNumber("betweenTokensTargetMillis", targetMillis, MILLISECONDS)
        trueOrFalse("fencing")
    }

    private val call = mapping {
        text("method", "\\*|[A-Z]{1,16}", "an HTTP method in capitals, or *")
        text("pathPrefix", PATH, "a path that starts with /")
        trueOrFalse("idempotent")
        choice("requestClass", classes)
    }

    private val application = mapping {
        name("name")
        name("version")
        wholeNumber("replicas", replicas, "replicas", required = true)
        wholeNumber("requestLimit", requests, REQUESTS, required = true)
        wholeNumber("coldRequestLimit", requests, REQUESTS)
        wholeNumber("latencyTargetMillis", targetMillis, MILLISECONDS)
        list("calls", call)
        text("statusPath", PATH, "a path that starts with /", nullable = true)
        trueOrFalse("fencing")
    }

    private val availabilityZone = mapping {
        name("name")
        name("region")
        trueOrFalse("takenOut")
        number("reclaimablePricePerHour", 0.0, MAXIMUM_PRICE, PRICE)
        number("onDemandPricePerHour", 0.0, MAXIMUM_PRICE, PRICE)
    }

    private val move = mapping {
        name("name")
        name("service")
        name("from")
        name("to")
        wholeNumber("completeWithinSeconds", moveSeconds, SECONDS, required = true)
        number("firstShare", 0.0, 1.0, SHARE)
    }

    private val workspace = mapping {
        name("name")
        hashes("keyHashes")
        number("weight", SMALLEST_WEIGHT, MAXIMUM_WEIGHT, "weight")
        wholeNumber("openRequestLimit", requests, REQUESTS)
        choice("modelClass", classes)
    }

    private val operator = mapping {
        name("name")
        hash("tokenHash")
        choices("sections", SectionName.entries.map { it.key })
        trueOrFalse("administrator")
    }

    private val trafficRules = mapping {
        list("workspaces", workspace)
        number("retryShare", 0.0, 1.0, SHARE)
        wholeNumber("addressAnswerSeconds", answerSeconds, SECONDS)
        names("drainedEntries")
        names("drainedBackendServers")
        list("operators", operator)
    }

    /** Returns the shape of section [name]. */
    fun of(name: SectionName): Shape =
        when (name) {
            SectionName.MODELS -> listOf(model)
            SectionName.APPLICATIONS -> listOf(application)
            SectionName.AVAILABILITY_ZONES -> listOf(availabilityZone)
            SectionName.VERSIONS -> listOf(move)
            SectionName.TRAFFIC_RULES -> trafficRules
        }

    private fun listOf(element: Shape) = Shape.Items(element, ShapeBuilder.MAXIMUM_ITEMS)
}
