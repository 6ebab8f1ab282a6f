/** Leases of proxies. */
export * from './createLeaseKeeper.js'
