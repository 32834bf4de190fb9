import * as fs from 'node:fs/promises'
import type * as fileSystems from './fileSystem.js'

class NodeAppendFile implements fileSystems.AppendFile {
  constructor(
    private readonly handle: fs.FileHandle,
    public length: number,
  ) {}

  async append(parts: readonly Buffer[]): Promise<void> {
    const bytes = parts.length === 1 && parts[0] ? parts[0] : Buffer.concat(parts)
    let written = 0
    while (written < bytes.length) {
      const result = await this.handle.write(bytes, written, bytes.length - written)
      written += result.bytesWritten
      this.length += result.bytesWritten
    }
  }

  async sync(): Promise<void> {
    await this.handle.datasync()
  }

  async close(): Promise<void> {
    await this.handle.close()
  }
}

/** File system of the operating system. */
export class NodeFileSystem implements fileSystems.FileSystem {
  async ensureFolder(folder: string): Promise<void> {
    await fs.mkdir(folder, { recursive: true })
  }

  async list(folder: string): Promise<readonly string[]> {
    const names = await fs.readdir(folder)
    return names.sort()
  }

  async read(file: string, offset?: number, length?: number): Promise<Buffer> {
    if (offset === undefined || length === undefined) return fs.readFile(file)
    const handle = await fs.open(file, 'r')
    try {
      const result = await handle.read(Buffer.alloc(length), 0, length, offset)
      return result.buffer.subarray(0, result.bytesRead)
    } finally {
      await handle.close()
    }
  }

  async open(file: string): Promise<fileSystems.AppendFile> {
    const handle = await fs.open(file, 'a')
    const stat = await handle.stat()
    return new NodeAppendFile(handle, stat.size)
  }

  async truncate(file: string, length: number): Promise<void> {
    const handle = await fs.open(file, 'r+')
    try {
      await handle.truncate(length)
      await handle.sync()
    } finally {
      await handle.close()
    }
  }

  async rename(from: string, to: string): Promise<void> {
    await fs.rename(from, to)
  }

  async remove(file: string): Promise<void> {
    await fs.rm(file, { force: true })
  }

  async syncFolder(folder: string): Promise<void> {
    const handle = await fs.open(folder, 'r')
    try {
      await handle.sync()
    } finally {
      await handle.close()
    }
  }
}
