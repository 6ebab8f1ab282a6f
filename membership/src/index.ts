/** Membership. */
export * from './announcementSchema.js'
export * from './createAnnouncements.js'
export * from './createDirectory.js'
