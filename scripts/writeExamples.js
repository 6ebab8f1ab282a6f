// Writes the settings of two example deployments to examples/.
import fs from 'node:fs'
import path from 'node:path'

const CONTROL_PORT = 7400
const DEPLOYMENTS = [
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
// Placeholder for a public key; generate a key pair with `briarpick bundle keygen`.
const PLACEHOLDER_KEY = 'MCowBQYDK2VwAyEAq3oP4cYwmTGwuVDZCM0eA2rCWTMz2f9sWyiZG1Qk2nE='
const VMS = 9
const CONTROL_NODES = 3

const toTomlLines = (value) => Object.entries(value).map(([key, entry]) => `${key} = ${JSON.stringify(entry)}`).join('\n')

for (const deployment of DEPLOYMENTS) {
  const folder = path.resolve(import.meta.dirname, '../examples', deployment.folder)
  fs.mkdirSync(folder, { recursive: true })
  const address = (vm, port) => `${deployment.network}.0.${vm}:${port}`
  const dataCentreOf = (vm) => deployment.dataCentres[(vm - 1) % deployment.dataCentres.length]
  const controlVms = Array.from({ length: CONTROL_NODES }, (_, i) => i + 1)
  for (const vm of controlVms) {
    fs.writeFileSync(path.join(folder, `control-${vm}.toml`), [
      `name = "control-${vm}"`, `data_centre = "${dataCentreOf(vm)}"`, 'data_folder = "/var/lib/briarpick"', `listen = "${address(vm, CONTROL_PORT)}"`, '',
      '[nodes]', ...controlVms.map((other) => `control-${other} = "${address(other, CONTROL_PORT)}"`), '',
      '[signers]', `"${deployment.signer}" = "${PLACEHOLDER_KEY}"`, '',
    ].join('\n'))
  }
  for (let vm = 1; vm <= VMS; vm++) {
    fs.writeFileSync(path.join(folder, `proxy-${vm}.toml`), [
      `name = "proxy-${vm}"`, `data_centre = "${dataCentreOf(vm)}"`,
      `control = [${controlVms.map((other) => `"${address(other, CONTROL_PORT)}"`).join(', ')}]`, '',
      '[callers]', `listen = "${address(vm, 5432)}"`, '', '[link]', `listen = "${address(vm, 7500)}"`, '', '[rpc]', `listen = "${address(vm, 7600)}"`, '',
      '[metrics]', `listen = "${address(vm, 9100)}"`, '', '[signers]', `"${deployment.signer}" = "${PLACEHOLDER_KEY}"`, '',
    ].join('\n'))
  }
  fs.writeFileSync(path.join(folder, 'bundle.toml'), [
    'version = 1', '', `[services.${deployment.service}]`, toTomlLines(deployment.policy), '', '[failover]', toTomlLines(deployment.failover), '',
  ].join('\n'))
}
