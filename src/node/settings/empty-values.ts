/** Empty values of a settings file. A template leaves them where a platform has no value for a field. */

export interface SettingName {
    readonly section: string;
    readonly key: string;
}

export interface SetValues {
    /** Parsed file, with `undefined` in place of each empty value. */
    readonly values: object;
    /** Settings that are present without a value, in the order of the file. */
    readonly notSet: readonly SettingName[];
}

/** @param parsed Result of the INI parser: keys by section. */
export function unsetEmptyValues(parsed: Readonly<Record<string, unknown>>): SetValues {
    const notSet: SettingName[] = [];
    const unsetIn = (section: string, keys: object): object =>
        Object.fromEntries(
            Object.entries(keys).map(([key, value]: [string, unknown]) => {
                if (value !== "") {
                    return [key, value];
                }
                notSet.push({ section, key });
                // The key stays, so that an unknown one is reported.
                return [key, undefined];
            }),
        );
    const values = Object.fromEntries(
        Object.entries(parsed).map(([section, keys]) => [
            section,
            typeof keys === "object" && keys !== null && !Array.isArray(keys) ? unsetIn(section, keys) : keys,
        ]),
    );
    return { values, notSet };
}

export function formatSettingName({ section, key }: SettingName): string {
    return `[${section}] ${key}`;
}
