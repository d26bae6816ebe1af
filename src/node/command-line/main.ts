#!/usr/bin/env node
/** Entry point of `geraniumbarrow`. */
import { runCommandLine } from "./command-line.js";

process.exitCode = await runCommandLine(process.argv.slice(2));
