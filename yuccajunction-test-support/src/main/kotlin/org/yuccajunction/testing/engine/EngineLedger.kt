package org.yuccajunction.testing.engine

import kotlinx.serialization.Serializable
import org.yuccajunction.testing.LoadCounts

/** The requests and the load of the model engine stand-in. */
@Serializable
public data class EngineLedger(public val rows: List<EngineLedgerRow>, public val load: LoadCounts)
