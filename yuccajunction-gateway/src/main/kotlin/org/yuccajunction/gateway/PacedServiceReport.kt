package org.yuccajunction.gateway

import org.yuccajunction.fleet.ServerObservation
import org.yuccajunction.shortage.DemandReport

/**
 * What an entry reports to its peers of services whose servers report their pace.
 *
 * @property observations newest reports of the servers
 * @property demand what is requested of this entry
 */
internal class PacedServiceReport(val observations: List<ServerObservation>, val demand: List<DemandReport>)
