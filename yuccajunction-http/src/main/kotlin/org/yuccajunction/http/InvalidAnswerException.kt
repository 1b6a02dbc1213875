package org.yuccajunction.http

import java.io.IOException

/** Thrown where received bytes are no answer by the grammar of HTTP/1.1, or exceed a bound. */
public class InvalidAnswerException(message: String) : IOException(message)
