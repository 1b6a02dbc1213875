package org.yuccajunction.ctl

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.yuccajunction.model.Endpoint
import java.io.IOException
import java.net.InetAddress
import java.net.URI
import java.nio.file.Files
import java.nio.file.Path

/** Reads the entries and the operator's token from options or the environment; a left value says what is wrong. */
internal class CtlSettings(private val environment: Map<String, String>) {
    /**
     * Returns the base URLs in [text], a list separated by commas, or in the environment if [text] is null.
     *
     * An address without a scheme gets `http` on loopback or if [plainTextAllowed], else `https`.
     */
    fun entries(text: String?, plainTextAllowed: Boolean): Either<String, List<String>> {
        val given = text ?: environment[ENTRIES_VARIABLE]
            ?: return "name entries with --entries or $ENTRIES_VARIABLE".left()
        val urls = given.split(',').map { it.trim() }.filter { it.isNotEmpty() }.map { toUrl(it, plainTextAllowed) }
        val refused = urls.firstNotNullOfOrNull { it.leftOrNull() }
        return refused?.left() ?: urls.mapNotNull { it.getOrNull() }.right()
    }

    /** Returns the token in [file]; if null, the one in the file or variable that the environment sets. */
    fun token(file: String?): Either<String, String> {
        val path = file ?: environment[TOKEN_FILE_VARIABLE]
        if (path == null) {
            return environment[TOKEN_VARIABLE]?.trim()?.right()
                ?: "give a token with --token-file, $TOKEN_FILE_VARIABLE or $TOKEN_VARIABLE".left()
        }
        return try {
            Files.readString(Path.of(path)).trim().right()
        } catch (exception: IOException) {
            "the token file can't be read: ${exception.javaClass.simpleName}".left()
        }
    }

    private fun toUrl(entry: String, plainTextAllowed: Boolean): Either<String, String> {
        val loopback = isLoopback(entry)
        val url = when {
            "://" in entry -> entry.trimEnd('/')
            Endpoint.parse(entry) == null -> return "\"$entry\" is neither host:port nor a URL".left()
            loopback || plainTextAllowed -> "http://$entry"
            else -> "https://$entry"
        }
        if (url.startsWith("http://") && !loopback && !plainTextAllowed) {
            return "$url is plain text and not on loopback; use https or --allow-plain-text".left()
        }
        return url.right()
    }

    private fun isLoopback(entry: String): Boolean {
        val url = if ("://" in entry) entry else "http://$entry"
        val host = runCatching { URI(url).host }.getOrNull() ?: return false
        val literal = IP_LITERAL.matches(host.removeSurrounding("[", "]"))
        return host == "localhost" || literal && InetAddress.getByName(host).isLoopbackAddress
    }

    private companion object {
        const val ENTRIES_VARIABLE = "YUCCAJUNCTION_ENTRIES"
        const val TOKEN_FILE_VARIABLE = "YUCCAJUNCTION_TOKEN_FILE"
        const val TOKEN_VARIABLE = "YUCCAJUNCTION_TOKEN"
        val IP_LITERAL = Regex("[0-9.]+|[0-9a-fA-F:]*:[0-9a-fA-F:.]*")
    }
}
