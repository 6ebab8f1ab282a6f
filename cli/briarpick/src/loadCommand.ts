import { defineCommand } from 'citty'
import { MAX_TIMER_MS } from '@briarpick/types'
import { BriarpickError } from '@briarpick/error'
import { checkWrites, DEFAULT_MIX, readRowCounts, runLoad, summarizeLoad } from '@briarpick/load'
import { parseAddresses } from './controlClient.js'

/** `briarpick load` */
export const loadCommand = defineCommand({
  meta: { name: 'load', description: 'Run a seeded load through proxies and check its results for consistency violations' },
  args: {
    proxies: { type: 'string', required: true, description: 'comma-separated addresses on which proxies accept callers', valueHint: '10.0.0.1:5432,…' },
    databases: { type: 'string', required: true, description: 'comma-separated database names' },
    rate: { type: 'string', default: '200', description: 'arrivals per second' },
    seconds: { type: 'string', default: '10', description: 'duration, in seconds' },
    seed: { type: 'string', default: '1', description: 'seed of the random numbers' },
    sessions: { type: 'string', default: '20', description: 'sessions per database' },
    'max-age': { type: 'string', default: '1000', description: 'maximum data age of a stale read, in ms' },
    connections: { type: 'string', default: '8', description: 'connections per proxy and database' },
    user: { type: 'string', default: 'caller', description: 'database user' },
    password: { type: 'string', description: 'password of the user' },
  },
  async run ({ args }) {
    const proxies = parseAddresses(args.proxies)
    const databases = args.databases.split(',')
    const credentials = { user: args.user, password: args.password }
    const { operations, broken: violations } = await runLoad({
      proxies,
      databases,
      ratePerSecond: parsePositiveNumber('rate', args.rate),
      seconds: parsePositiveNumber('seconds', args.seconds),
      seed: parsePositiveNumber('seed', args.seed),
      mix: DEFAULT_MIX,
      sessions: parsePositiveNumber('sessions', args.sessions),
      maxAgeMs: parsePositiveNumber('max-age', args['max-age']),
      connectionsPerProxy: parsePositiveNumber('connections', args.connections),
      ...credentials,
    })
    const rowCounts = await Promise.all(databases.map((database) => readRowCounts(proxies, database, credentials)))
    const allViolations = [...violations, ...checkWrites(operations, rowCounts)]
    process.stdout.write(JSON.stringify({ ...summarizeLoad(operations), broken: allViolations }, null, 2) + '\n')
    if (allViolations.length > 0) process.exitCode = 1
  },
})

function parsePositiveNumber (name: string, text: string): number {
  const value = Number(text)
  if (value > 0 && value <= MAX_TIMER_MS) return value
  throw new BriarpickError('ERR_BRIARPICK_USAGE', `--${name} ${text} is not a positive number of at most ${MAX_TIMER_MS}`, { hint: 'see briarpick load --help' })
}
