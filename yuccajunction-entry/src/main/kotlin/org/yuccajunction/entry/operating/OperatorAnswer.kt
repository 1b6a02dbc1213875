package org.yuccajunction.entry.operating

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json
import org.yuccajunction.operator.OperatorProblem

/** One response of the operator API. */
internal class OperatorAnswer private constructor(
    val status: HttpStatusCode,
    val contentType: ContentType,
    val body: String,
) {
    companion object {
        private val json = Json { encodeDefaults = true }

        fun <T> of(serializer: KSerializer<T>, value: T, status: HttpStatusCode = HttpStatusCode.OK): OperatorAnswer =
            OperatorAnswer(status, ContentType.Application.Json, json.encodeToString(serializer, value))

        fun problem(status: HttpStatusCode, detail: String): OperatorAnswer {
            val problem = OperatorProblem(status.description, status.value, detail)
            val body = json.encodeToString(OperatorProblem.serializer(), problem)
            return OperatorAnswer(status, ContentType.Application.ProblemJson, body)
        }
    }
}
