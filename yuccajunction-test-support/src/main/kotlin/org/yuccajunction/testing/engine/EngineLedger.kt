package org.yuccajunction.testing.engine

import kotlinx.serialization.Serializable
import org.yuccajunction.testing.LoadCounts

/** Everything that the model engine stand-in has to say about its requests and its load. */
@Serializable
public data class EngineLedger(public val rows: List<EngineLedgerRow>, public val load: LoadCounts)
