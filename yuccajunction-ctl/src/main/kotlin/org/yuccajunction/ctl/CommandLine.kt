package org.yuccajunction.ctl

import arrow.core.raise.either
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.default
import kotlinx.coroutines.runBlocking
import org.yuccajunction.adapters.tls.PemTrust
import org.yuccajunction.model.Finding

/**
 * Command line of operators.
 *
 * @param environment environment variables, which may set the entries and the token
 */
public class CommandLine(private val environment: Map<String, String>, private val console: Console) {
    /**
     * Runs the command in [arguments] and returns the exit code.
     *
     * The argument parser itself ends the process if [arguments] are invalid or ask for help.
     */
    @OptIn(ExperimentalCli::class)
    public fun run(arguments: Array<String>): ExitCode {
        val parser = ArgParser("yuccajunctionctl")
        val entries by parser.option(ArgType.String, "entries", "e", "Operator ports, host:port or URL, by commas")
        val tokenFile by parser.option(ArgType.String, "token-file", "t", "File that holds the operator's token")
        val trustFile by parser.option(ArgType.String, "trust-file", null, "PEM file of trusted certificates")
        val plainText by parser.option(ArgType.Boolean, "allow-plain-text", null, "Allow plain text off loopback")
            .default(false)
        val output by parser.option(ArgType.Choice(listOf("text", "json"), { it }), "output", "o", "Form of results")
            .default("text")
        val commands = CtlCommands.all()
        parser.subcommands(*commands.toTypedArray())
        parser.parse(arguments.ifEmpty { arrayOf("--help") })
        val command = commands.find { it.isChosen } ?: return usage("name a command; see --help")
        val client = either {
            if (command.isOffline) {
                OperatorClient(emptyList(), "")
            } else {
                val settings = CtlSettings(environment)
                val urls = settings.entries(entries, plainText).bind()
                val token = settings.token(tokenFile).bind()
                val trust = trustFile?.let { PemTrust.read(it).mapLeft(Finding::toString).bind() }
                OperatorClient(urls, token, trust)
            }
        }
        return client.fold(::usage) { runCommand(command, it, output) }
    }

    private fun runCommand(command: CtlCommand, client: OperatorClient, output: String): ExitCode =
        client.use { runBlocking { command.run(CtlSession(it, console, isJson = output == "json")) } }

    private fun usage(detail: String): ExitCode {
        console.error(detail)
        return ExitCode.USAGE
    }
}
