package org.yuccajunction.adapters.tls

import java.nio.file.Path

/**
 * PEM files of one listening port or client.
 *
 * @property certificate certificate chain, own certificate first
 * @property key unencrypted PKCS #8 private key of the first certificate
 * @property trust certificates that must have signed the certificate of the other side
 */
public data class TlsFiles(public val certificate: Path, public val key: Path, public val trust: Path)
