package org.yuccajunction.entry

import arrow.core.Either
import arrow.core.NonEmptyList
import arrow.core.left
import arrow.core.right
import arrow.core.toNonEmptyListOrNull
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import org.yuccajunction.model.Finding

/** Parses the command line of the entry. */
public object EntryCommandLine {
    private const val PROGRAM = "yuccajunction-entry"

    /** Returns the values of the given flags, or a finding for each unknown flag and each flag without a value. */
    public fun parse(arguments: Array<String>): Either<NonEmptyList<Finding>, Map<EntryFlag, String>> {
        val findings = unknownArguments(arguments)
        findings.toNonEmptyListOrNull()?.let { return it.left() }
        val parser = ArgParser(PROGRAM, useDefaultHelpShortName = true)
        val options = EntryFlag.entries.associateWith { flag ->
            parser.option(ArgType.String, fullName = flag.flag, description = describe(flag))
        }
        parser.parse(arguments)
        val texts = options.mapNotNull { (flag, option) -> option.value?.let { flag to it } }
        return texts.toMap().right()
    }

    private fun unknownArguments(arguments: Array<String>): List<Finding> {
        val known = EntryFlag.entries.map { "--${it.flag}" } + HELP
        val findings = mutableListOf<Finding>()
        var index = 0
        while (index < arguments.size) {
            val name = arguments[index]
            when {
                name in HELP -> index += 1
                name !in known -> findings += Finding(name, "", null, "is not a flag of $PROGRAM").also { index += 1 }
                index + 1 == arguments.size -> findings += Finding(name, "", null, "has no value").also { index += 1 }
                else -> index += 2
            }
        }
        return findings
    }

    private fun describe(flag: EntryFlag): String {
        val default = flag.default?.let { ", $it by default" }.orEmpty()
        return "${flag.description}$default (${flag.variable})"
    }

    private val HELP = setOf("--help", "-h")
}
