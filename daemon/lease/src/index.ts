/** Lease renewal of proxies. */
export * from './createLeaseRenewer.js'
