import { toByteText } from './wireLines.js'

/** Texts that the fields of statements are drawn from; one character is one byte. None contains CR LF. */
export interface StatementTexts {
  /** Names of prepared statements and session values, and ends of items: words without blanks. */
  readonly words: readonly string[]
  /** Shapes, session values and data: fields that extend to the end of the line. */
  readonly lastFields: readonly string[]
}

/** Words of letters and digits. */
export const PLAIN_TEXTS: StatementTexts = {
  words: ['s1', 's2', 'xu'],
  lastFields: ['qa', 'xu', 'q7d', 'ijuj'],
}

/** Texts with single blanks, some of which contain a statement or its beginning. */
export const BLANK_TEXTS: StatementTexts = {
  words: ['s1', 's2', 'qa', 'READ', 'WRITE'],
  lastFields: ['qa', 'xu', 'qa xu', 'qa WRITE xu', 'xu WRITE qa', 'q7d READ ijuj', 'ijuj READ q7d READ ijuj', 'a WAITLSN 1.1 READ b', '- DISCARD'],
}

/** Texts with blanks at the beginning, at the end or in a row. */
export const OUTER_BLANK_TEXTS: StatementTexts = {
  words: ['s1', 's2', 'qa'],
  lastFields: ['qa', ' qa', 'qa ', '  qa  ', 'qa  xu', 'qa xu', ' ', '  ', ' READ xu', 'xu  WRITE  qa '],
}

/**
 * Texts of arbitrary bytes: not valid UTF-8, cut off in a character, valid UTF-8, single CR and LF, names of built-in properties, and two
 * long ones that differ in a byte order mark.
 */
export const BYTE_TEXTS: StatementTexts = {
  words: ['s1', '__proto__', 'constructor', '\xe9', '\xe8', '\xff', toByteText('é'), '\xef\xbf\xbd', '\0', '\r', '\n'],
  lastFields: [
    'caf\xe9', 'caf\xe8', 'caf\xff', 'caf\xe2\x82', 'caf\xf0\x9f\x98', toByteText('café'), toByteText('caf\u{fffd}'), toByteText('\u{feff}caf\u{1f600}'),
    'qa'.repeat(40), toByteText(`\u{feff}${'qa'.repeat(40)}`),
    '__proto__', 'constructor', 'caf\0', 'a\rb', 'a\nb', '\n', '\r', 'a\r', '\xa0',
  ],
}

/** All texts together. */
export const ALL_TEXTS: StatementTexts = {
  words: [PLAIN_TEXTS, BLANK_TEXTS, OUTER_BLANK_TEXTS, BYTE_TEXTS].flatMap(({ words }) => words),
  lastFields: [PLAIN_TEXTS, BLANK_TEXTS, OUTER_BLANK_TEXTS, BYTE_TEXTS].flatMap(({ lastFields }) => lastFields),
}
