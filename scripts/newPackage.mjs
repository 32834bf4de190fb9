// Scaffolds a workspace package: node scripts/newPackage.mjs NAME [DEPENDENCY …]
import * as fs from 'node:fs'

const [name, ...dependencies] = process.argv.slice(2)
if (!name) {
  console.error('usage: node scripts/newPackage.mjs NAME [DEPENDENCY …]')
  process.exit(2)
}
const folder = `packages/${name}`
fs.mkdirSync(`${folder}/src`, { recursive: true })
const manifest = {
  name: `@ebonyweir/${name}`,
  version: '0.1.0',
  private: true,
  type: 'module',
  exports: {
    '.': { source: './src/index.ts', types: './dist/index.d.ts', default: './dist/index.js' },
  },
  dependencies: Object.fromEntries(dependencies.map((d) => [`@ebonyweir/${d}`, '0.1.0'])),
}
const tsconfig = {
  extends: '../../tsconfig.base.json',
  compilerOptions: { rootDir: 'src', outDir: 'dist', tsBuildInfoFile: 'dist/tsconfig.tsbuildinfo' },
  include: ['src'],
  references: dependencies.map((d) => ({ path: `../${d}` })),
}
fs.writeFileSync(`${folder}/package.json`, `${JSON.stringify(manifest, null, 2)}\n`)
fs.writeFileSync(`${folder}/tsconfig.json`, `${JSON.stringify(tsconfig, null, 2)}\n`)
const names = fs.readdirSync('packages').sort()
const root = {
  files: [],
  references: [...names.map((n) => ({ path: `packages/${n}` })), { path: 'platform' }],
}
fs.writeFileSync('tsconfig.json', `${JSON.stringify(root, null, 2)}\n`)
