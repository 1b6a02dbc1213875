package org.yuccajunction.http

/** Holds one parsed line of an answer's headers or trailers. */
internal class FieldLine(val name: String, val value: String)
