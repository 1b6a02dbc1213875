package org.yuccajunction.entry.operating

import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import org.yuccajunction.document.OperatorRule
import org.yuccajunction.operator.ChangeMessage
import org.yuccajunction.operator.ExplainMessage
import org.yuccajunction.operator.OperatorPaths
import org.yuccajunction.operator.SectionTexts
import org.yuccajunction.operator.SwitchMessage

/**
 * Adds the routes of the operator API: configuration, changes, status, drains and routing explanations.
 *
 * Every request needs the bearer token of a known operator. See [OperatorPaths] for the requests and answers.
 */
public fun Route.operatorApi(context: OperatorContext) {
    val handlers = OperatorHandlers(context)
    get(OperatorPaths.DEPLOYMENT) {
        call.answer(context) { handlers.deployment(call.request.queryParameters["revision"]) }
    }
    get(OperatorPaths.HISTORY) { call.answer(context) { handlers.history() } }
    get(OperatorPaths.STATUS) { call.answer(context) { handlers.status() } }
    get(OperatorPaths.INSTANCES) { call.answer(context) { handlers.instances() } }
    post(OperatorPaths.VALIDATION) { call.answer(context, SectionTexts.serializer()) { handlers.validate(it) } }
    post(OperatorPaths.CHANGES) {
        call.answer(context, ChangeMessage.serializer()) { handlers.change(it, this) }
    }
    post(OperatorPaths.SWITCHES) {
        call.answer(context, SwitchMessage.serializer()) { handlers.switch(it, this) }
    }
    post(OperatorPaths.EXPLANATIONS) { call.answer(context, ExplainMessage.serializer()) { handlers.explain(it) } }
}
