package org.yuccajunction.fleet

/** What a backend server says of its load: requests [running] and [waiting] there, and its [slots]. */
public data class LoadReport(public val running: Int, public val waiting: Int, public val slots: Int)
