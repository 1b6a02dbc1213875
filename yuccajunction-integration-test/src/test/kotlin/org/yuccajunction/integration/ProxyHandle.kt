package org.yuccajunction.integration

import org.yuccajunction.model.Endpoint
import org.yuccajunction.testing.proxy.ProxyFaults
import org.yuccajunction.testing.proxy.RouteOrder
import org.yuccajunction.testing.proxy.RouteReport

/** Controls the fault proxy. */
class ProxyHandle(val process: JavaProcess, private val control: Endpoint) {
    /** Opens a route to [target]; without one the route closes connections until [RouteHandle.setTarget] is called. */
    fun route(target: Endpoint? = null): RouteHandle {
        val order = RouteOrder(target = target)
        val answer = Http.writeJson(control, "POST", "/routes", RouteOrder.serializer(), order)
        return RouteHandle(control, harnessJson.decodeFromString(RouteReport.serializer(), answer).port)
    }
}

/** Controls one route of the fault proxy. */
class RouteHandle(private val control: Endpoint, port: Int) {
    private val path = "/routes/$port"

    /** Address at which the route listens. */
    val endpoint = Endpoint("127.0.0.1", port)

    /** Sets the address to which the route forwards connections. */
    fun setTarget(target: Endpoint) {
        Http.writeJson(control, "PUT", "$path/target", Endpoint.serializer(), target)
    }

    /** Sets the faults of the route and ends all earlier ones. */
    fun setFaults(faults: ProxyFaults) {
        Http.writeJson(control, "PUT", "$path/faults", ProxyFaults.serializer(), faults)
    }

    /** Closes every open connection, with a TCP reset if [reset] is true. */
    fun cut(reset: Boolean = false) {
        Http.sendOrFail(control, "POST", "$path/cut?reset=$reset")
    }

    /** Drops all further data of the connections that are open now; new connections work. */
    fun silence() {
        Http.sendOrFail(control, "POST", "$path/silence")
    }

    /** Partitions the route: open connections and new ones stay open but pass no data. */
    fun partition() {
        setFaults(ProxyFaults(hangNew = true))
        silence()
    }

    /** Ends all faults for new connections. */
    fun heal() = setFaults(ProxyFaults())

    fun report(): RouteReport = Http.readJson(control, path, RouteReport.serializer())
}
