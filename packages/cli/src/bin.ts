#!/usr/bin/env node
/** Executable `ebonyweir`. */
import * as cli from './cli.js'

process.exitCode = await cli.runCli(process.argv.slice(2), {})
