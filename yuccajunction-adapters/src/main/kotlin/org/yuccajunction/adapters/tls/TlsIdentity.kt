package org.yuccajunction.adapters.tls

import arrow.core.getOrElse
import org.yuccajunction.model.Finding
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.atomic.AtomicReference

/**
 * Provides the certificate, key and trusted certificates in [files], and reads them again after a change.
 *
 * Each handshake checks the files for a change. While changed files are unusable, the last usable material stays in
 * use.
 */
public class TlsIdentity(private val files: TlsFiles) {
    private val loaded = AtomicReference<Loaded?>(null)

    /** Reads the files and returns the errors in them; empty if they are usable. */
    public fun findings(): List<Finding> =
        TlsMaterial.read(files).fold({ listOf(it) }, { emptyList() })

    /** Returns the material in use, or null if the files have never been usable. */
    internal fun currentMaterial(): TlsMaterial? {
        val stamp = stampOf(files)
        val before = loaded.get()
        if (before != null && before.stamp == stamp) return before.material
        val material = TlsMaterial.read(files).getOrElse { before?.material }
        loaded.set(Loaded(stamp, material))
        return material
    }

    private fun stampOf(files: TlsFiles): List<String> =
        listOf(files.certificate, files.key, files.trust).map(::stampOf)

    private fun stampOf(path: Path): String =
        runCatching { "${Files.getLastModifiedTime(path)} ${Files.size(path)}" }.getOrDefault("absent")

    private class Loaded(val stamp: List<String>, val material: TlsMaterial?)
}
