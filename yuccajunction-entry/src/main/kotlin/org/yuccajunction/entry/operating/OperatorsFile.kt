package org.yuccajunction.entry.operating

import com.charleskorn.kaml.Yaml
import kotlinx.serialization.SerializationException
import kotlinx.serialization.builtins.ListSerializer
import org.yuccajunction.document.OperatorRule
import org.yuccajunction.model.Finding
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.attribute.FileTime

/**
 * The operators in a file that holds a YAML list of [OperatorRule].
 *
 * The file is read again after each change. While it is unreadable or invalid, the operators read last stay in force.
 */
public class OperatorsFile(private val path: Path) {
    private var lastModified: FileTime? = null
    private var operators: List<OperatorRule> = emptyList()

    /** Returns the operators in the file, after reading it again if it has changed. */
    @Synchronized
    public fun operators(): List<OperatorRule> {
        refresh()
        return operators
    }

    /** Reads the file if it has changed; returns the fault, or null if there is none. */
    @Synchronized
    public fun refresh(): Finding? =
        try {
            val currentModified = Files.getLastModifiedTime(path)
            if (currentModified != lastModified) {
                operators = Yaml.default.decodeFromString(serializer, Files.readString(path))
                lastModified = currentModified
            }
            null
        } catch (exception: IOException) {
            Finding(path.toString(), "", null, "can't be read: ${exception.javaClass.simpleName}")
        } catch (exception: SerializationException) {
            Finding(path.toString(), "", null, exception.message ?: "is not a list of operators")
        } catch (exception: IllegalArgumentException) {
            Finding(path.toString(), "", null, exception.message ?: "is not a list of operators")
        }

    private companion object {
        val serializer = ListSerializer(OperatorRule.serializer())
    }
}
