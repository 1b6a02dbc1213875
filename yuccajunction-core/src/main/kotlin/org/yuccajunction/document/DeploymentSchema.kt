package org.yuccajunction.document

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put

/** Builds the JSON schema of the deployment document, for editors, from the shapes that the reader checks. */
public object DeploymentSchema {
    private val json = Json { prettyPrint = true }

    /** Returns the schema as JSON text. */
    public fun text(): String = json.encodeToString(JsonObject.serializer(), document()) + "\n"

    private fun document(): JsonObject =
        buildJsonObject {
            put("\$schema", "https://json-schema.org/draft/2020-12/schema")
            put("title", "Deployment document")
            put("type", "object")
            put("properties", JsonObject(SectionName.entries.associate { it.key to schemaOf(SectionShapes.of(it)) }))
            put("additionalProperties", false)
        }

    private fun schemaOf(shape: Shape): JsonObject =
        buildJsonObject {
            when (shape) {
                is Shape.Text -> {
                    put("type", "string")
                    put("pattern", "^(?:${shape.pattern})$")
                    put("maxLength", Shape.Text.MAXIMUM_LENGTH)
                    put("description", shape.description)
                }
                is Shape.WholeNumber -> {
                    put("type", "integer")
                    put("minimum", shape.range.first)
                    put("maximum", shape.range.last)
                    put("description", shape.unit)
                }
                is Shape.Number -> {
                    put("type", "number")
                    put("minimum", shape.minimum)
                    put("maximum", shape.maximum)
                    put("description", shape.unit)
                }
                is Shape.TrueOrFalse -> put("type", "boolean")
                is Shape.Choice -> put("enum", JsonArray(shape.options.map(::JsonPrimitive)))
                is Shape.Items -> {
                    put("type", "array")
                    put("maxItems", shape.maximum)
                    put("items", schemaOf(shape.element))
                }
                is Shape.Fields -> {
                    put("type", "object")
                    put("properties", JsonObject(shape.fields.associate { it.name to schemaOf(it) }))
                    put("required", JsonArray(shape.fields.filter { it.required }.map { JsonPrimitive(it.name) }))
                    put("additionalProperties", false)
                }
            }
        }

    private fun schemaOf(field: Shape.Field): JsonObject {
        val schema = schemaOf(field.shape)
        if (!field.nullable) return schema
        return JsonObject(schema + ("type" to JsonArray(listOf(schema.getValue("type"), JsonPrimitive("null")))))
    }
}
