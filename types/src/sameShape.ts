/** The type with every field required, at any depth, so that a missing optional field shows. */
type DeepRequired<T> = T extends readonly unknown[]
  ? ReadonlyArray<DeepRequired<T[number]>>
  : T extends object ? { readonly [K in keyof T]-?: DeepRequired<Exclude<T[K], undefined>> } : T

/** `true` if both types have the same fields, optional ones included, at any depth; otherwise `false`. */
export type SameShape<A, B> = [DeepRequired<A>, DeepRequired<B>] extends [DeepRequired<B>, DeepRequired<A>] ? true : false
