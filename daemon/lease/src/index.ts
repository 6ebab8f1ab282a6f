/** Leases of proxies. */
export * from './createLeaseRenewer.js'
