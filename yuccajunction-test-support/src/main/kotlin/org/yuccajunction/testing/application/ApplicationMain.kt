package org.yuccajunction.testing.application

import io.ktor.server.routing.routing
import org.yuccajunction.testing.StandInArguments
import org.yuccajunction.testing.StandInProcess
import org.yuccajunction.testing.standInJson

/** Serves a stand-in for an application, which keeps a ledger of the calls that it executed. */
public object ApplicationMain {
    @JvmStatic
    public fun main(arguments: Array<String>) {
        val standInArguments = StandInArguments.parse("application", arguments)
        val settings = standInJson.decodeFromString(ApplicationSettings.serializer(), standInArguments.settings)
        val state = ApplicationState(settings)
        StandInProcess.serve(standInArguments) {
            routing { applicationRoutes(state) }
        }
    }
}
