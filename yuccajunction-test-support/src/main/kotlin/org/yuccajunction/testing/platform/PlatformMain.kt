package org.yuccajunction.testing.platform

import io.ktor.server.routing.routing
import org.yuccajunction.testing.StandInArguments
import org.yuccajunction.testing.StandInProcess

/** Serves a stand-in for the platform: object API, instance list and cloud API. */
public object PlatformMain {
    @JvmStatic
    public fun main(arguments: Array<String>) {
        val state = PlatformState()
        StandInProcess.serve(StandInArguments.parse("platform", arguments)) {
            routing {
                objectRoutes(state)
                instanceRoutes(state)
                platformAdminRoutes(state)
            }
        }
    }
}
