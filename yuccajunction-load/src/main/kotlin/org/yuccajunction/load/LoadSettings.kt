package org.yuccajunction.load

import com.charleskorn.kaml.Yaml
import kotlinx.serialization.Serializable
import java.nio.file.Path
import kotlin.io.path.readText

/**
 * The shape of one load.
 *
 * @property requestsPerSecond mean rate over all workspaces
 * @property seconds length of the measured part
 * @property warmUpSeconds time before it, whose requests are sent and not counted
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
        /** Reads settings from a YAML file; fails where it can't be read. */
        public fun read(path: Path): LoadSettings = Yaml.default.decodeFromString(serializer(), path.readText())
    }
}
