// Writes the example settings of the two users under examples/.
import fs from 'node:fs'
import path from 'node:path'

const CONTROL_PORT = 7400
const SITES = [
  {
    folder: 'rent-ledger',
    service: 'rent-ledger',
    dataCentres: ['mvd-centro', 'mvd-prado', 'canelones'],
    network: '10.10',
    signer: 'Ana Pérez',
    policy: { slots: 2, connections: 16, replica_wait: '100ms' },
    failover: { silent_after: '1s' },
  },
  {
    folder: 'ride-records',
    service: 'ride-records',
    dataCentres: ['dakar-plateau', 'dakar-almadies', 'rufisque', 'thies'],
    network: '10.20',
    signer: 'Awa Diop',
    policy: { slots: 3, connections: 40, replica_wait: '40ms' },
    failover: { silent_after: '700ms' },
  },
]
// A public key of no use: make your own with `briarpick bundle keygen`.
const EXAMPLE_KEY = 'MCowBQYDK2VwAyEAq3oP4cYwmTGwuVDZCM0eA2rCWTMz2f9sWyiZG1Qk2nE='
const VMS = 9
const CONTROLS = 3

const toToml = (value) => Object.entries(value).map(([key, entry]) => `${key} = ${JSON.stringify(entry)}`).join('\n')

for (const site of SITES) {
  const folder = path.resolve(import.meta.dirname, '../examples', site.folder)
  fs.mkdirSync(folder, { recursive: true })
  const address = (vm, port) => `${site.network}.0.${vm}:${port}`
  const place = (vm) => site.dataCentres[(vm - 1) % site.dataCentres.length]
  const controls = Array.from({ length: CONTROLS }, (_, i) => i + 1)
  for (const vm of controls) {
    fs.writeFileSync(path.join(folder, `control-${vm}.toml`), [
      `name = "control-${vm}"`, `data_centre = "${place(vm)}"`, 'data_folder = "/var/lib/briarpick"', `listen = "${address(vm, CONTROL_PORT)}"`, '',
      '[nodes]', ...controls.map((other) => `control-${other} = "${address(other, CONTROL_PORT)}"`), '',
      '[signers]', `"${site.signer}" = "${EXAMPLE_KEY}"`, '',
    ].join('\n'))
  }
  for (let vm = 1; vm <= VMS; vm++) {
    fs.writeFileSync(path.join(folder, `proxy-${vm}.toml`), [
      `name = "proxy-${vm}"`, `data_centre = "${place(vm)}"`,
      `control = [${controls.map((other) => `"${address(other, CONTROL_PORT)}"`).join(', ')}]`, '',
      '[callers]', `listen = "${address(vm, 5432)}"`, '', '[link]', `listen = "${address(vm, 7500)}"`, '', '[rpc]', `listen = "${address(vm, 7600)}"`, '',
      '[metrics]', `listen = "${address(vm, 9100)}"`, '', '[signers]', `"${site.signer}" = "${EXAMPLE_KEY}"`, '',
    ].join('\n'))
  }
  fs.writeFileSync(path.join(folder, 'bundle.toml'), [
    'version = 1', '', `[services.${site.service}]`, toToml(site.policy), '', '[failover]', toToml(site.failover), '',
  ].join('\n'))
}
