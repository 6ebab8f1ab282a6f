import { expect, test } from 'vitest'
import { readStartupOptions } from '../src/entry/startupOptions.js'

test('the options of a startup message are read in each form that PostgreSQL knows', () => {
  expect(readStartupOptions('-c briarpick.session=s1 -cbriarpick.max_age=2s --briarpick.current=on')).toEqual({ session: 's1', maxAgeMs: 2000, current: true })
  expect(readStartupOptions('')).toEqual({})
  expect(readStartupOptions('-c statement_timeout=5s -c briarpick.unknown=1')).toEqual({})
})

// Guards against sessions with one name: a value ended at its first blank, also at one that a backslash makes a part of it.
test('a value may contain white space and backslashes after a backslash', () => {
  expect(readStartupOptions('-c briarpick.session=a\\ b')).toEqual({ session: 'a b' })
  expect(readStartupOptions('-c briarpick.session=a\\ c\\\\')).toEqual({ session: 'a c\\' })
})

test('text within the value of another setting is no option', () => {
  expect(readStartupOptions('-c search_path=x-c\\ briarpick.session=s1')).toEqual({})
  expect(readStartupOptions('-c application_name=a-cbriarpick.session=s1')).toEqual({})
})
