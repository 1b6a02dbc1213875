package org.yuccajunction.entry.serving

import org.yuccajunction.model.Ending

/** The end of a held stream; [finishReason] comes from the model engine and is null if the engine gave none. */
internal data class StreamEnd(val ending: Ending, val finishReason: String? = null)
