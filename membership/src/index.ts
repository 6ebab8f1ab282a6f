/** Announcements of targets, and the directory of database views. */
export * from './announcementSchema.js'
export * from './createAnnouncementFilter.js'
export * from './createAnnouncements.js'
export * from './createAnnouncementTracker.js'
export * from './createDirectory.js'
export * from './targetKey.js'
