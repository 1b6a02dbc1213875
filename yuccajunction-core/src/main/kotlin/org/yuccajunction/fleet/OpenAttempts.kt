package org.yuccajunction.fleet

/**
 * Open attempts of one entry.
 *
 * @property all number of open attempts
 * @property unrepeatable number of those whose request can't go on at another server
 */
public data class OpenAttempts(public val all: Int = 0, public val unrepeatable: Int = 0)
