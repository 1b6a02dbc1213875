package org.yuccajunction.routing

import org.yuccajunction.model.Endpoint

/**
 * Where the home of a request answers for its records.
 *
 * @property peerEndpoint where the home itself answers while it lives
 * @property successorEndpoint where the entry answers that took over its records, null while there is none
 */
public data class HomeAddress(public val peerEndpoint: Endpoint, public val successorEndpoint: Endpoint? = null)
