package org.yuccajunction.testing.engine

import io.ktor.server.routing.routing
import org.yuccajunction.testing.StandInArguments
import org.yuccajunction.testing.StandInProcess
import org.yuccajunction.testing.standInJson

/** Serves a stand-in for a model engine, whose answers tests compute by [ExpectedAnswer]. */
public object ModelEngineMain {
    @JvmStatic
    public fun main(arguments: Array<String>) {
        val standInArguments = StandInArguments.parse("model-engine", arguments)
        val settings = standInJson.decodeFromString(ModelEngineSettings.serializer(), standInArguments.settings)
        val state = EngineState(settings)
        StandInProcess.serve(standInArguments) {
            routing {
                generationRoutes(state)
                engineRoutes(state)
                engineAdminRoutes(state)
            }
        }
    }
}
