package org.yuccajunction.gateway

/** A server on loopback to which an entry under test connects, or tries to. */
interface LoopbackServer {
    val port: Int
}
