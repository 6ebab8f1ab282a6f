import { parseRequestOption, type RequestOptions } from '@briarpick/statement'

const ARGUMENT = /(?:\\[\s\S]|[^\s\\])+/g
const SETTING = /^briarpick\.(\w+)=([\s\S]*)$/

/** Reads the request options in the parameter `options` of a startup message, such as `-c briarpick.session=s1`. */
export function readStartupOptions (text: string): RequestOptions {
  let options: RequestOptions = {}
  for (const setting of listSettings(splitArguments(text))) {
    const [, name, value] = SETTING.exec(setting) ?? []
    if (name !== undefined) options = { ...options, ...parseRequestOption(name, value) }
  }
  return options
}

/** Splits the text into arguments as PostgreSQL does: at white space, unless it follows a backslash. */
function splitArguments (text: string): readonly string[] {
  return [...text.matchAll(ARGUMENT)].map(([argument]) => argument.replaceAll(/\\([\s\S])/g, '$1'))
}

/** The settings in `-c NAME=VALUE`, `-cNAME=VALUE` and `--NAME=VALUE`. */
function listSettings (args: readonly string[]): readonly string[] {
  return args.flatMap((argument, i) => {
    if (args[i - 1] === '-c') return [argument]
    return argument.startsWith('-c') || argument.startsWith('--') ? [argument.slice(2)] : []
  })
}
