package org.yuccajunction.testing.proxy

import io.ktor.http.HttpStatusCode
import io.ktor.server.response.respond
import io.ktor.server.routing.Route
import io.ktor.server.routing.RoutingCall
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.put
import io.ktor.server.routing.routing
import org.yuccajunction.model.Endpoint
import org.yuccajunction.testing.StandInArguments
import org.yuccajunction.testing.StandInProcess
import org.yuccajunction.testing.receiveJson
import org.yuccajunction.testing.respondJson
import java.util.concurrent.ConcurrentHashMap

/** Serves a TCP proxy whose routes and faults are set over HTTP. */
public object FaultProxyMain {
    private val routes = ConcurrentHashMap<Int, ProxyRoute>()

    @JvmStatic
    public fun main(arguments: Array<String>) {
        StandInProcess.serve(StandInArguments.parse("fault-proxy", arguments)) {
            routing { proxyRoutes() }
        }
    }

    private fun Route.proxyRoutes() {
        post("/routes") {
            val order = call.receiveJson(RouteOrder.serializer())
            val route = ProxyRoute(order.port, order.target)
            routes[route.port] = route
            route.start()
            call.respondJson(RouteReport.serializer(), route.report())
        }
        get("/routes/{port}") { call.onRoute { respondJson(RouteReport.serializer(), it.report()) } }
        put("/routes/{port}/target") {
            val target = call.receiveJson(Endpoint.serializer())
            call.change { it.target = target }
        }
        put("/routes/{port}/faults") {
            val faults = call.receiveJson(ProxyFaults.serializer())
            call.change { it.faults = faults }
        }
        post("/routes/{port}/cut") { call.change { it.closeConnections(call.parameters["reset"] == "true") } }
        post("/routes/{port}/silence") { call.change { it.silenceConnections() } }
    }

    private suspend fun RoutingCall.change(change: (ProxyRoute) -> Unit) =
        onRoute {
            change(it)
            respond(HttpStatusCode.OK)
        }

    private suspend fun RoutingCall.onRoute(action: suspend RoutingCall.(ProxyRoute) -> Unit) {
        val route = routes[parameters["port"]?.toIntOrNull()]
        if (route == null) respond(HttpStatusCode.NotFound) else action(route)
    }

    private fun ProxyRoute.report(): RouteReport = RouteReport(port, acceptedConnections, openConnections)
}
