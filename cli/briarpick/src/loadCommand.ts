import { defineCommand } from 'citty'
import { BriarpickError } from '@briarpick/error'
import { checkWrites, DEFAULT_MIX, readRowCounts, runLoad, summarizeLoad } from '@briarpick/load'
import { parseAddresses } from './controlClient.js'

/** `briarpick load` */
export const loadCommand = defineCommand({
  meta: { name: 'load', description: 'Put a seeded load on proxies and check what callers saw' },
  args: {
    proxies: { type: 'string', required: true, description: 'addresses where callers connect, with commas', valueHint: '10.0.0.1:5432,…' },
    databases: { type: 'string', required: true, description: 'names, with commas' },
    rate: { type: 'string', default: '200', description: 'arrivals in a second' },
    seconds: { type: 'string', default: '10', description: 'length' },
    seed: { type: 'string', default: '1', description: 'seed of all choices' },
    sessions: { type: 'string', default: '20', description: 'sessions of each database' },
    'max-age': { type: 'string', default: '1000', description: 'oldest data of a stale read, in ms' },
    connections: { type: 'string', default: '8', description: 'connections to each proxy for each database' },
    user: { type: 'string', default: 'caller', description: 'user' },
    password: { type: 'string', description: 'password' },
  },
  async run ({ args }) {
    const proxies = parseAddresses(args.proxies)
    const databases = args.databases.split(',')
    const credentials = { user: args.user, password: args.password }
    const { operations, broken } = await runLoad({
      proxies,
      databases,
      ratePerSecond: readNumber('rate', args.rate),
      seconds: readNumber('seconds', args.seconds),
      seed: readNumber('seed', args.seed),
      mix: DEFAULT_MIX,
      sessions: readNumber('sessions', args.sessions),
      maxAgeMs: readNumber('max-age', args['max-age']),
      connectionsPerProxy: readNumber('connections', args.connections),
      ...credentials,
    })
    const found = await Promise.all(databases.map((database) => readRowCounts(proxies, database, credentials)))
    const allBroken = [...broken, ...checkWrites(operations, found)]
    process.stdout.write(JSON.stringify({ ...summarizeLoad(operations), broken: allBroken }, null, 2) + '\n')
    if (allBroken.length > 0) process.exitCode = 1
  },
})

function readNumber (name: string, text: string): number {
  const value = Number(text)
  if (Number.isFinite(value) && value > 0) return value
  throw new BriarpickError('ERR_BRIARPICK_USAGE', `--${name} ${text} is not a number above 0`, { hint: 'see briarpick load --help' })
}
