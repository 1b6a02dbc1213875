package org.yuccajunction.adapters.tls

import java.io.File
import java.nio.file.Files
import java.nio.file.Path
import java.security.KeyStore
import java.util.Base64

/** Creates self-signed certificates with the JDK's keytool and writes them as PEM files. */
internal class TestCertificates(private val folder: Path) {
    private val encoder = Base64.getMimeEncoder(64, "\n".toByteArray())

    /** Writes a new certificate and key named [name]; the returned files trust the certificate named [trusted]. */
    fun make(name: String, trusted: String = name): TlsFiles {
        val store = folder.resolve("$name.p12")
        Files.deleteIfExists(store)
        val command = listOf(
            File(System.getProperty("java.home"), "bin/keytool").path,
            "-genkeypair", "-alias", "own", "-keyalg", "EC", "-groupname", "secp256r1", "-dname", "CN=$name",
            "-ext", "san=ip:127.0.0.1", "-validity", "1", "-storetype", "PKCS12", "-storepass", PASSWORD,
            "-keystore", "$store",
        )
        val process = ProcessBuilder(command).redirectErrorStream(true).start()
        val output = process.inputStream.bufferedReader().readText()
        check(process.waitFor() == 0) { output }
        val keys = KeyStore.getInstance("PKCS12")
        Files.newInputStream(store).use { keys.load(it, PASSWORD.toCharArray()) }
        write("$name.key", "PRIVATE KEY", keys.getKey("own", PASSWORD.toCharArray()).encoded)
        write("$name.crt", "CERTIFICATE", keys.getCertificate("own").encoded)
        return TlsFiles(folder.resolve("$name.crt"), folder.resolve("$name.key"), folder.resolve("$trusted.crt"))
    }

    private fun write(file: String, kind: String, content: ByteArray) {
        val body = encoder.encodeToString(content)
        Files.writeString(folder.resolve(file), "-----BEGIN $kind-----\n$body\n-----END $kind-----\n")
    }

    private companion object {
        const val PASSWORD = "only-for-tests"
    }
}
