package org.yuccajunction.routing

import org.yuccajunction.model.Endpoint

/**
 * The addresses at which peers query the record of a request.
 *
 * The home of a request is the entry that alone may execute the request and that keeps the request's record.
 *
 * @property peerEndpoint address of the home itself
 * @property successorEndpoint address of the entry that took over the home's records, null where there is none
 */
public data class HomeAddress(public val peerEndpoint: Endpoint, public val successorEndpoint: Endpoint? = null)
