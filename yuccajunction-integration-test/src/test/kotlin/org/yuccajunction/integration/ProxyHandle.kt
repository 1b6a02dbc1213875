package org.yuccajunction.integration

import org.yuccajunction.model.Endpoint
import org.yuccajunction.testing.proxy.ProxyFaults
import org.yuccajunction.testing.proxy.RouteOrder
import org.yuccajunction.testing.proxy.RouteReport

/** The fault proxy, as tests drive it. */
class ProxyHandle(val process: JavaProcess, private val control: Endpoint) {
    /** Opens a route to [target]; without a target it refuses connections until one is set. */
    fun route(target: Endpoint? = null): RouteHandle {
        val order = RouteOrder(target = target)
        val answer = Http.writeJson(control, "POST", "/routes", RouteOrder.serializer(), order)
        return RouteHandle(control, harnessJson.decodeFromString(RouteReport.serializer(), answer).port)
    }
}

/** One route of the fault proxy. */
class RouteHandle(private val control: Endpoint, port: Int) {
    private val path = "/routes/$port"

    /** Where the route listens. */
    val endpoint = Endpoint("127.0.0.1", port)

    /** Sets where the route leads. */
    fun setTarget(target: Endpoint) {
        Http.writeJson(control, "PUT", "$path/target", Endpoint.serializer(), target)
    }

    /** Replaces all faults of the route. */
    fun setFaults(faults: ProxyFaults) {
        Http.writeJson(control, "PUT", "$path/faults", ProxyFaults.serializer(), faults)
    }

    /** Ends every connection that is open now. */
    fun cut(reset: Boolean = false) {
        Http.sendOrFail(control, "POST", "$path/cut?reset=$reset")
    }

    /** Lets every connection that is open now go silent for good; new ones work. */
    fun silence() {
        Http.sendOrFail(control, "POST", "$path/silence")
    }

    /** Cuts the route off: open connections go silent, new ones lead nowhere. */
    fun partition() {
        setFaults(ProxyFaults(hangNew = true))
        silence()
    }

    /** Ends all faults for new connections. */
    fun heal() = setFaults(ProxyFaults())

    fun report(): RouteReport = Http.readJson(control, path, RouteReport.serializer())
}
