import { expect, test } from 'vitest'
import { checkToml, controlSchema, proxySchema } from '../src/index.js'

const PROXY = `name = "proxy-1"
data_centre = "centro"
control = ["10.0.0.1:7400"]
[callers]
listen = "10.0.0.5:5432"
[link]
listen = "10.0.0.5:7500"
[rpc]
listen = "10.0.0.5:7600"
`

function messageOf (text: string): string {
  const checked = checkToml(text, proxySchema, 'proxy.toml')
  return checked.isErr ? `${checked.error.message} | ${checked.error.hint}` : 'valid'
}

test('settings are read with their units', () => {
  const settings = checkToml(PROXY, proxySchema, 'proxy.toml').unwrapOrElse((err) => { throw err })
  expect(settings.callers.listen).toEqual({ host: '10.0.0.5', port: 5432 })
  expect(settings.drain_timeout).toBe(20_000)
  expect(settings.callers.max_batch).toBe(16 * 1024 * 1024)
})

test.each([
  ['an unknown key', PROXY + 'lisen = "x"\n', /unknown key rpc.lisen \| remove the key/],
  ['a name instead of an IP number', PROXY.replace('10.0.0.5:5432', 'db.example:5432'), /key callers.listen: must be an IP number and a port/],
  ['a port that is none', PROXY.replace('10.0.0.5:5432', '10.0.0.5:99999'), /key callers.listen/],
  ['a duration without a unit', 'drain_timeout = "20"\n' + PROXY, /key drain_timeout: must be a duration with its unit/],
  ['a missing section', PROXY.replace('[link]\nlisten = "10.0.0.5:7500"\n', ''), /key link/],
  ['no TOML', 'name = ', /proxy.toml: /],
])('%s is an error that names file, key and remedy', (_what, text, message) => {
  expect(messageOf(text)).toMatch(message)
})

test('a control node needs a data folder and all nodes', () => {
  const checked = checkToml('name = "c"\ndata_centre = "x"\nlisten = "10.0.0.1:7400"\n', controlSchema, 'control.toml')
  expect(checked.isErr && checked.error.message).toMatch(/control.toml: key (data_folder|nodes)/)
})
