import { expect, test } from 'vitest'
import { type RenewRequest } from '@briarpick/types'
import { startLeaderDuties } from './startLeaderDuties.js'

/** Renewals of proxies that state their routes in the form of this build and of earlier ones. */
const WITHOUT_ROUTES: Partial<RenewRequest> = { routesVersion: 0, needsWholeRoutes: true }
const EARLIER_BUILD: Partial<RenewRequest> = { routesVersion: 0 }
const WITH_VERSION_0: Partial<RenewRequest> = { routesVersion: 0, needsWholeRoutes: false }

// Guards against a first configuration of version 0 that is acknowledged and reaches no proxy: 0 also stood for no routes.
test('a proxy without routes gets version 0 and each later one as a whole', async () => {
  const { duties, grant, setRoutesVersion } = startLeaderDuties({ routesVersion: 0 })
  expect(grant('vm-1', WITHOUT_ROUTES)?.routes).toMatchObject({ kind: 'whole', table: { version: 0 } })
  expect(grant('vm-2', EARLIER_BUILD)?.routes).toMatchObject({ kind: 'whole', table: { version: 0 } })
  expect(grant('vm-3', WITH_VERSION_0)?.routes).toBeNull()
  setRoutesVersion(1)
  expect(grant('vm-1', WITHOUT_ROUTES)?.routes).toMatchObject({ kind: 'whole', table: { version: 1 } })
  expect(grant('vm-2', EARLIER_BUILD)?.routes).toMatchObject({ kind: 'whole', table: { version: 1 } })
  expect(grant('vm-3', WITH_VERSION_0)?.routes).toMatchObject({ kind: 'change', change: { fromVersion: 0, version: 1 } })
  await duties.close()
})

// Guards against a proxy that stays at its version, as each change is based on one that it does not have.
test('a proxy to whose routes a change did not apply gets the whole table', async () => {
  const { duties, grant, setRoutesVersion } = startLeaderDuties({ routesVersion: 4 })
  grant('vm-2', WITHOUT_ROUTES)
  setRoutesVersion(5)
  expect(grant('vm-1', { routesVersion: 4, needsWholeRoutes: true })?.routes).toMatchObject({ kind: 'whole', table: { version: 5 } })
  await duties.close()
})

test('a proxy that uses no routes gets none', async () => {
  const { duties, grant } = startLeaderDuties({ routesVersion: 0 })
  expect(grant('vm-1', {})?.routes).toBeNull()
  await duties.close()
})
