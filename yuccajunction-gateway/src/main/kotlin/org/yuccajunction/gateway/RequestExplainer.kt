package org.yuccajunction.gateway

import arrow.core.Either
import arrow.core.raise.Raise
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.raise.ensureNotNull
import io.netty.handler.codec.http.QueryStringDecoder
import kotlinx.collections.immutable.toPersistentList
import kotlinx.serialization.json.Json
import org.yuccajunction.fleet.ServerCandidate
import org.yuccajunction.fleet.ServerQuery
import org.yuccajunction.fleet.ServerSelection
import org.yuccajunction.forward.ForwardConfiguration
import org.yuccajunction.forward.ForwardRequest
import org.yuccajunction.forward.ForwardRoute
import org.yuccajunction.forward.PromptPart
import org.yuccajunction.forward.RefusalCause
import org.yuccajunction.forward.WorkspacePolicy
import org.yuccajunction.operator.ForwardExplainMessage
import org.yuccajunction.operator.ForwardExplanation
import org.yuccajunction.operator.OperatorPaths
import org.yuccajunction.operator.OperatorProblem
import kotlin.random.Random

/**
 * Explains how this entry would forward a request, without sending it, taking quota or changing what follows.
 *
 * Confined to the traffic thread, except [isFor].
 */
internal class RequestExplainer(private val dataPlane: DataPlane) {
    /** Returns whether [uri] asks for an explanation. */
    fun isFor(uri: String): Boolean = uri.substringBefore('?') == OperatorPaths.FORWARD_EXPLANATIONS

    /** Returns the explanation for the request that the query of [uri] describes, or the problem that prevents one. */
    fun answer(uri: String): SmallAnswer =
        either { explain(message(QueryStringDecoder(uri).parameters())) }.fold(
            { SmallAnswer(it.status, json.encodeToString(OperatorProblem.serializer(), it), PROBLEM_TYPE) },
            { SmallAnswer(OK, json.encodeToString(ForwardExplanation.serializer(), it), JSON_TYPE) },
        )

    private fun Raise<OperatorProblem>.message(query: Map<String, List<String>>): ForwardExplainMessage {
        val host = ensureNotNull(query["host"]?.first()) { badRequest("the host is missing") }
        return ForwardExplainMessage(
            host = host,
            path = query["path"]?.first() ?: "/",
            method = query["method"]?.first() ?: "POST",
            workspace = query["workspace"]?.first(),
            promptParts = query["part"].orEmpty(),
            promptTokens = query["promptTokens"]?.first()?.let { number(it) },
            answerTokens = query["answerTokens"]?.first()?.let { number(it) } ?: 0,
        )
    }

    private fun Raise<OperatorProblem>.number(text: String): Int =
        ensureNotNull(text.toIntOrNull()?.takeIf { it >= 0 }) { badRequest("\"$text\" is no number of tokens") }

    private fun Raise<OperatorProblem>.explain(message: ForwardExplainMessage): ForwardExplanation {
        val configuration =
            ensureNotNull(dataPlane.fleet.configuration) {
                problem(UNAVAILABLE, "this entry has no configuration yet")
            }
        val route =
            ensureNotNull(configuration.route(message.host.substringBefore(':'), message.path)) {
                problem(NOT_FOUND, "no route for host ${message.host} and path ${message.path}")
            }
        val policy = workspace(configuration, message)
        val query = ServerQuery(request(message, route, policy))
        val selection = dataPlane.loadBalancer.compare(query, dataPlane.now(), Random(SEED))
        val admission = rejection(configuration, route, policy)
        return explanation(message, configuration, query.request, selection, admission)
    }

    private fun Raise<OperatorProblem>.workspace(
        configuration: ForwardConfiguration,
        message: ForwardExplainMessage,
    ): WorkspacePolicy? {
        val name = message.workspace ?: return null
        return ensureNotNull(configuration.workspaces.find { it.id.value == name }) {
            problem(NOT_FOUND, "no workspace $name with a key in revision ${configuration.revision}")
        }
    }

    private fun Raise<OperatorProblem>.request(
        message: ForwardExplainMessage,
        route: ForwardRoute,
        policy: WorkspacePolicy?,
    ): ForwardRequest {
        val now = dataPlane.now()
        val parts = message.promptParts.map { part(it) }
        return ForwardRequest(
            id = "explanation",
            route = route,
            service = route.destinations.maxBy { it.weight }.service,
            workspace = policy?.id,
            rank = policy?.rank ?: route.rank,
            receivedAt = now,
            deadline = now + route.timeLimit,
            promptTokens = message.promptTokens ?: parts.sumOf { it.tokens },
            answerTokens = message.answerTokens,
            promptParts = parts.toPersistentList(),
        )
    }

    private fun Raise<OperatorProblem>.part(text: String): PromptPart {
        ensure(':' in text) { badRequest("prompt part \"$text\" is not an identity, a colon and its tokens") }
        return PromptPart(text.substringBeforeLast(':'), number(text.substringAfterLast(':')))
    }

    /** Returns why [ForwardAdmission] would reject the request, null if it would not. */
    private fun rejection(
        configuration: ForwardConfiguration,
        route: ForwardRoute,
        policy: WorkspacePolicy?,
    ): String? {
        val needsKey = configuration.needsKeys && !route.isPublic
        return when {
            dataPlane.rejectsNewRequests(dataPlane.now()) -> RefusalCause.ENTRY_LEAVING.code
            ForwardAdmission.isFull(dataPlane) -> RefusalCause.ENTRY_LIMIT.code
            needsKey && ForwardAdmission.areKeysUnconfirmed(dataPlane) -> RefusalCause.UNCONFIRMED_KEYS.code
            needsKey && policy == null -> "unknown-key: the route needs a workspace"
            policy != null && isUsedUp(policy) -> RefusalCause.WORKSPACE_LIMIT.code
            else -> null
        }
    }

    private fun isUsedUp(policy: WorkspacePolicy): Boolean =
        policy.ratePerSecond > 0.0 && dataPlane.quotas.remaining(policy.id)?.let { it <= 0.0 } == true

    private fun explanation(
        message: ForwardExplainMessage,
        configuration: ForwardConfiguration,
        request: ForwardRequest,
        selection: ServerSelection,
        admission: String?,
    ): ForwardExplanation =
        ForwardExplanation(
            entry = dataPlane.settings.name,
            revision = configuration.revision.value,
            configurationAgeMillis = dataPlane.confirmationAge()?.inWholeMilliseconds,
            liveEntries = dataPlane.fleet.entries.size,
            method = message.method,
            route = request.route.name,
            service = request.service.value,
            admission = admission,
            quotaRemaining = request.workspace?.let(dataPlane.quotas::remaining),
            chosen = selection.chosen?.takeUnless { selection.isTooLate }?.server?.id?.value,
            outcome = outcome(request, selection, admission),
            candidates = selection.candidates.map(::candidate),
        )

    private fun outcome(request: ForwardRequest, selection: ServerSelection, admission: String?): String {
        val chosen = selection.chosen?.server?.id
        return when {
            admission != null -> "rejected: $admission"
            !dataPlane.relays.isReachable(request.service) -> "goes through a peer: this entry reaches no server"
            selection.candidates.isEmpty() -> "rejected: ${RefusalCause.NO_SERVER.code}"
            chosen == null -> "rejected: ${RefusalCause.NO_CAPACITY.code}, no server may get a request"
            selection.isTooLate -> "rejected: ${RefusalCause.NO_CAPACITY.code}, too late at $chosen"
            else -> "goes to $chosen"
        }
    }

    private fun candidate(candidate: ServerCandidate): ForwardExplanation.Candidate {
        val terms = candidate.terms
        return ForwardExplanation.Candidate(
            id = candidate.server.id.value,
            availabilityZone = candidate.server.availabilityZone.toString(),
            version = candidate.server.version,
            holdReason = candidate.holdReason?.name,
            terms = terms?.byName(),
            totalMillis = terms?.totalMillis,
            knowledgeAgeMillis = terms?.knowledgeAgeMillis,
        )
    }

    private fun badRequest(detail: String) = problem(BAD_REQUEST, detail)

    private fun problem(status: Int, detail: String) = OperatorProblem("the request can't be explained", status, detail)

    private companion object {
        const val OK = 200
        const val BAD_REQUEST = 400
        const val NOT_FOUND = 404
        const val UNAVAILABLE = 503
        const val JSON_TYPE = "application/json"
        const val PROBLEM_TYPE = "application/problem+json"

        /** Seed of the random terms, so that two explanations of the same state are the same. */
        const val SEED = 1
        val json = Json { encodeDefaults = true }
    }
}
