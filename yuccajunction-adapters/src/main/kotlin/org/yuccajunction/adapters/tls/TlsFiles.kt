package org.yuccajunction.adapters.tls

import java.nio.file.Path

/**
 * The PEM files of one listening port or client.
 *
 * @property certificate the certificate chain, the own certificate first
 * @property key the private key of the first certificate, in the form PKCS #8 without a password
 * @property trust the certificates that others must be signed by
 */
public data class TlsFiles(public val certificate: Path, public val key: Path, public val trust: Path)
