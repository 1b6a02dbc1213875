package org.yuccajunction.load

import com.charleskorn.kaml.Yaml
import kotlinx.serialization.Serializable
import java.nio.file.Path
import kotlin.io.path.readText

/**
 * Settings of a load.
 *
 * @property requestsPerSecond mean request rate of all workspaces together
 * @property seconds length of the measured period in seconds
 * @property warmUpSeconds length in seconds of the warm-up before, whose requests are sent but not measured
 */
@Serializable
public data class LoadSettings(
    public val name: String,
    public val requestsPerSecond: Double,
    public val seconds: Int = 20,
    public val warmUpSeconds: Int = 5,
    public val workspaces: List<WorkspaceLoad>,
    public val requests: List<RequestShape>,
) {
    public companion object {
        /** Reads settings from the YAML file [path]; throws if the file is missing or malformed. */
        public fun read(path: Path): LoadSettings = Yaml.default.decodeFromString(serializer(), path.readText())
    }
}
