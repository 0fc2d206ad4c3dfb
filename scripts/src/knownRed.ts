/** Names of the tests that KNOWN-RED.txt lists. */
export function knownRedTests(text: string): string[] {
  return text
    .split('\n')
    .filter((line) => line.startsWith('test: '))
    .map((line) => line.slice('test: '.length).trim());
}

function escapeRegExp(text: string): string {
  return text.replace(/[.*+?^${}()|[\]\\/]/g, '\\$&');
}

/**
 * Flags that skip top-level tests by name. Node 20 has no `--test-skip-pattern`, so a negative
 * look-ahead excludes them; the root must not match either, because its subtests would then all run.
 */
export function namePatternFlags(names: string[]): string[] {
  if (names.length === 0) return [];
  const skipped = ['<root>', ...names].map((name) => `${escapeRegExp(name)}$`).join('|');
  return [`--test-name-pattern=/^(?!${skipped})/`];
}
